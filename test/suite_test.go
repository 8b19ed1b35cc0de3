// Package test has the whole-program tests: real processes over their public faces.
package test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestSystem(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "whole programs")
}

// daemonPath and toolPath are the built programs.
var daemonPath, toolPath string

var _ = BeforeSuite(func() {
	daemonPath = build("cobaltcroftd")
	toolPath = build("cobaltcroft")
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

func build(program string) string {
	path, err := gexec.Build("github.com/cobaltcroft/cobaltcroft/cmd/"+program, buildFlags...)
	Expect(err).NotTo(HaveOccurred())
	return path
}
