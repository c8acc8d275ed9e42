package run

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
)

// maxRecordBytes limits the decompressed size of a record.
const maxRecordBytes = 8 << 20

// errRecordTooLarge reports a record of more than maxRecordBytes.
var errRecordTooLarge = errors.New("the decompressed record is too large")

// compress compresses a record to be sent to peers.
func compress(record []byte) []byte {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, err := writer.Write(record)
	if err = errors.Join(err, writer.Close()); err != nil {
		panic("run: " + err.Error()) // Writing to a bytes.Buffer never fails.
	}
	return compressed.Bytes()
}

// decompress reverses compress.
func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	record, err := io.ReadAll(io.LimitReader(reader, maxRecordBytes+1))
	if err == nil && len(record) > maxRecordBytes {
		err = errRecordTooLarge
	}
	return record, err
}
