package front

import (
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestFront(t *testing.T) {
	RegisterFailHandler(Fail)
	leaks := goleak.IgnoreCurrent()
	RunSpecs(t, "front")
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	if err := goleak.Find(leaks, goleak.IgnoreAnyFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"),
		goleak.IgnoreAnyFunction("os/signal.loop"),
		goleak.IgnoreAnyFunction("github.com/onsi/ginkgo/v2/internal.RegisterForProgressSignal.func1")); err != nil {
		t.Error(err)
	}
}
