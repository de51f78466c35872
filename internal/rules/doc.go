// Package rules tests the structure of the code: the layers of packages and the absence of
// mutable package variables.
package rules
