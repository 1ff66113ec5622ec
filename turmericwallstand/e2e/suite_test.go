// Package e2e_test runs the programs as separate processes on loopback, injects failures into them, and checks what
// callers, engines and plain services see.
package e2e_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "separate processes")
}

var daemonProgram, standProgram, controlProgram string

var _ = SynchronizedBeforeSuite(func() []byte {
	daemon, err := gexec.Build("github.com/turmericwall/turmericwall/turmericwalld")
	Expect(err).NotTo(HaveOccurred())
	stand, err := gexec.Build("github.com/turmericwall/turmericwall/turmericwallstand")
	Expect(err).NotTo(HaveOccurred())
	control, err := gexec.Build("github.com/turmericwall/turmericwall/turmericwallctl")
	Expect(err).NotTo(HaveOccurred())
	return []byte(strings.Join([]string{daemon, stand, control}, "\n"))
}, func(paths []byte) {
	SetDefaultEventuallyTimeout(20 * time.Second)
	SetDefaultEventuallyPollingInterval(50 * time.Millisecond)
	programs := strings.Split(string(paths), "\n")
	daemonProgram, standProgram, controlProgram = programs[0], programs[1], programs[2]
})

var _ = SynchronizedAfterSuite(func() {}, gexec.CleanupBuildArtifacts)
