package run

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
)

// maxRecordBytes bounds an unpacked record of the operators.
const maxRecordBytes = 8 << 20

// errRecordTooLarge is a record beyond maxRecordBytes.
var errRecordTooLarge = errors.New("the record is too long")

// pack compresses a record for the way between daemons.
func compress(record []byte) []byte {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, err := writer.Write(record)
	if err = errors.Join(err, writer.Close()); err != nil {
		panic("run: " + err.Error()) // Writing to memory never fails.
	}
	return compressed.Bytes()
}

// unpack undoes pack.
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
