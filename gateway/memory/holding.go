package memory

// Holding is the memory that one request or response takes. It is not safe for
// concurrent use.
type Holding struct {
	account *Account
	kind    Kind
	// counted is what the account has counted, of which used has been taken.
	counted, used int64
}

// Reserve counts bytes that later calls of Grow take. The error is a NoRoomError.
func (h *Holding) Reserve(bytes int64) error {
	if h.account == nil {
		return nil
	}
	if !h.account.reserve(h.kind, bytes, h.counted+bytes <= smallBytes) {
		h.account.reportRefused(h.kind)
		return NoRoomError{h.kind}
	}
	h.counted += bytes
	return nil
}

// Grow takes bytes, which must precede their allocation. The error is a NoRoomError.
func (h *Holding) Grow(bytes int64) error {
	if missing := h.used + bytes - h.counted; missing > 0 {
		if err := h.Reserve(missing); err != nil {
			return err
		}
	}
	h.used += bytes
	return nil
}

// Release gives everything back. More calls have no effect.
func (h *Holding) Release() {
	if h.account == nil || h.counted == 0 {
		return
	}
	h.account.release(h.kind, h.counted)
	h.counted, h.used = 0, 0
}
