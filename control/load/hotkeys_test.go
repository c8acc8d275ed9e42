package load

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// closeHotWindow closes a window of 1000 requests per second with a hot share of 2 %.
func closeHotWindow(h *HotKeys) { h.CloseWindow(Window, 1000, 0.02) }

func TestHotKeyIsFoundAfterManyRareOnes(t *testing.T) {
	g := NewWithT(t)
	h := NewHotKeys()
	for range windowsToIsolate {
		for rare := range 2 * maxTrackedKeys {
			h.Add(fmt.Sprintf("rare-%d", rare), 1)
		}
		h.Add("hot", 1000)
		closeHotWindow(h)
	}
	g.Expect(h.Hot()).To(Equal([]string{"hot"}))
}

func TestHotKeyThatSeveralVMsReportIsFoundAmongManyRareOnes(t *testing.T) {
	g := NewWithT(t)
	h := NewHotKeys()
	for range windowsToIsolate {
		for vm := range 20 {
			h.Add("hot", 50)
			for rare := range maxTrackedKeys {
				h.Add(fmt.Sprintf("rare-%d-%d", vm, rare), 1)
			}
		}
		closeHotWindow(h)
	}
	g.Expect(h.Hot()).To(Equal([]string{"hot"}))
}

func TestRareKeyIsNotTakenForHotByThoseBeforeIt(t *testing.T) {
	g := NewWithT(t)
	h := NewHotKeys()
	for range windowsToIsolate {
		for rare := range 100 * maxTrackedKeys {
			h.Add(fmt.Sprintf("rare-%d", rare), 3)
		}
		h.CloseWindow(Window, 1000, 0.001)
	}
	g.Expect(h.Hot()).To(BeEmpty())
}

func TestTrackedKeysOfAWindowAreLimited(t *testing.T) {
	g := NewWithT(t)
	h := NewHotKeys()
	for rare := range 3 * maxTrackedKeys {
		h.Add(fmt.Sprintf("rare-%d", rare), 1)
	}
	closeHotWindow(h)
	g.Expect(len(h.keys)).To(BeNumerically("<=", maxTrackedKeys))
}
