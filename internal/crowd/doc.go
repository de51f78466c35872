// Package crowd tests the program's own processes against crowds of clients that don't behave.
package crowd
