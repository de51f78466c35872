//go:build !race

package hub

const hasRaceDetector = false
