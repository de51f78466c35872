// Package guard bounds what clients of an HTTP server can make a process hold: connections, heads and bodies of
// requests. Where a bound is reached, the client that has made no progress for longest makes room.
package guard
