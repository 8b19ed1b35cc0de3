//go:build !race

package test

var buildFlags []string
