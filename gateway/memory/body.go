package memory

import (
	"errors"
	"fmt"
	"io"
	"runtime"
)

const (
	// firstChunkBytes is the size of the first chunk of a body of unknown length.
	firstChunkBytes = 4 << 10
	// endChunkBytes is the size of the chunk in which the end of a body of known length
	// is read, if the source did not report it with the last byte.
	endChunkBytes = 16
	// maxChunkBytes is the size of the largest chunk.
	maxChunkBytes = 64 << 10
)

// TooLongError reports a body beyond its limit in bytes.
type TooLongError struct{ Limit int64 }

func (e TooLongError) Error() string { return fmt.Sprintf("the body is longer than %d bytes", e.Limit) }

// Body is a complete body. It is kept in chunks, so that no bytes are copied while it
// grows. Nil is an empty body.
type Body struct {
	chunks  [][]byte
	length  int64
	holding *Holding
}

// ReadBody reads a body to its end. declared is its length, or -1 if unknown. The error
// is a TooLongError, a NoRoomError or that of the source; the holding is then released.
func ReadBody(holding *Holding, source io.Reader, declared, limit int64) (*Body, error) {
	b := &Body{holding: holding}
	if err := b.read(source, declared, limit); err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

func (b *Body) read(source io.Reader, declared, limit int64) error {
	if declared > limit {
		return TooLongError{limit}
	}
	var free []byte
	for {
		if len(free) == 0 {
			chunk, err := b.addChunk(declared)
			if err != nil {
				return err
			}
			free = chunk
		}
		n, err := source.Read(free)
		b.length += int64(n)
		free = free[n:]
		if b.length > limit {
			return TooLongError{limit}
		}
		if errors.Is(err, io.EOF) {
			b.trim(len(free))
			return nil
		}
		if err != nil {
			return err
		}
		if b.length > smallBytes {
			runtime.Gosched() // The next bytes may be there, too: others come first.
		}
	}
}

// addChunk adds a chunk for the next bytes.
func (b *Body) addChunk(declared int64) ([]byte, error) {
	size := b.nextSize(declared)
	if err := b.holding.Grow(size); err != nil {
		return nil, err
	}
	chunk := make([]byte, size)
	b.chunks = append(b.chunks, chunk)
	return chunk, nil
}

// nextSize returns the size of the next chunk: what is missing of the declared length,
// or twice the last one.
func (b *Body) nextSize(declared int64) int64 {
	switch missing := declared - b.length; {
	case missing > 0:
		return min(missing, maxChunkBytes)
	case missing == 0:
		return endChunkBytes
	}
	if len(b.chunks) == 0 {
		return firstChunkBytes
	}
	last := int64(len(b.chunks[len(b.chunks)-1]))
	return min(max(2*last, firstChunkBytes), maxChunkBytes)
}

// trim removes unused bytes at the end from the last chunk.
func (b *Body) trim(unused int) {
	last := len(b.chunks) - 1
	b.chunks[last] = b.chunks[last][:len(b.chunks[last])-unused]
}

// Len returns the length in bytes.
func (b *Body) Len() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// NewReader returns a reader of the body.
func (b *Body) NewReader() io.Reader {
	if b == nil {
		return &bodyReader{}
	}
	return &bodyReader{chunks: b.chunks}
}

// Release ends the use of the body and its holding. More calls have no effect. A reader
// that is still in use, such as that of an attempt being canceled, stays valid.
func (b *Body) Release() {
	if b != nil {
		b.holding.Release()
	}
}

// bodyReader reads chunks one after the other.
type bodyReader struct {
	chunks [][]byte
	offset int // In the first chunk.
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.chunks) > 0 && r.offset == len(r.chunks[0]) {
		r.chunks, r.offset = r.chunks[1:], 0
	}
	if len(r.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.chunks[0][r.offset:])
	r.offset += n
	return n, nil
}

// WriteTo implements io.WriterTo.
func (r *bodyReader) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for len(r.chunks) > 0 {
		n, err := w.Write(r.chunks[0][r.offset:])
		written += int64(n)
		if err != nil {
			return written, err
		}
		r.chunks, r.offset = r.chunks[1:], 0
	}
	return written, nil
}
