//go:build race

package test

// buildFlags make the processes detect races when the tests do.
var buildFlags = []string{"-race"}
