package run

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
)

// maxRecordBytes bounds an unpacked record of the operators.
const maxRecordBytes = 8 << 20

// errRecordTooLong is a record beyond maxRecordBytes.
var errRecordTooLong = errors.New("the record is too long")

// pack compresses a record for the way between daemons.
func pack(record []byte) []byte {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, err := writer.Write(record)
	if err = errors.Join(err, writer.Close()); err != nil {
		panic("run: " + err.Error()) // Writing to memory never fails.
	}
	return packed.Bytes()
}

// unpack undoes pack.
func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	record, err := io.ReadAll(io.LimitReader(reader, maxRecordBytes+1))
	if err == nil && len(record) > maxRecordBytes {
		err = errRecordTooLong
	}
	return record, err
}
