package once

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "once")
}
