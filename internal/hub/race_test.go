//go:build race

package hub

// hasRaceDetector is set if the race detector slows the tests down.
const hasRaceDetector = true
