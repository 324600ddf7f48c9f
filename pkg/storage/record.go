package storage

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// A record is length (4 bytes), CRC32C of the payload (4), CRC32C of these 8 bytes (4), payload;
	// integers are little endian.
	recordHeader = 12
	sector       = 512 // bytes that a disk writes as a whole
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record with the given payload to dst.
func appendRecord(dst, payload []byte) []byte {
	var h [recordHeader]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(h[:8], castagnoli))
	return append(append(dst, h[:]...), payload...)
}

// recordState says what was found at an offset.
type recordState uint8

const (
	recordValid recordState = iota
	recordTorn              // an append that a crash interrupted
	recordCorrupt
)

// readRecord reads the record at an offset of a segment. Every append is one record and is synced
// before the next, so an interrupted append is the end of the file: it lacks bytes, or has sectors
// that were never written and read as zero. Anything else is corruption, also in the last record,
// because that record may have been acknowledged.
func readRecord(segment []byte, offset int) (payload []byte, size int, state recordState) {
	data := segment[offset:]
	if len(data) < recordHeader {
		return nil, 0, recordTorn
	}
	if !headerValid(data) {
		unwritten := zeroSectorIn(segment, offset, offset+recordHeader)
		return nil, 0, tornIf(unwritten && !anyHeaderIn(data[1:]))
	}
	length := int(binary.LittleEndian.Uint32(data))
	if length > len(data)-recordHeader {
		return nil, 0, recordTorn
	}
	size = recordHeader + length
	payload = data[recordHeader:size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		unwritten := zeroSectorIn(segment, offset+recordHeader, offset+size)
		return nil, 0, tornIf(unwritten && size == len(data))
	}
	return payload, size, recordValid
}

func tornIf(torn bool) recordState {
	if torn {
		return recordTorn
	}
	return recordCorrupt
}

func headerValid(data []byte) bool {
	return crc32.Checksum(data[:8], castagnoli) == binary.LittleEndian.Uint32(data[8:])
}

// anyHeaderIn reports whether a record may start anywhere in data.
func anyHeaderIn(data []byte) bool {
	for i := 0; i+recordHeader <= len(data); i++ {
		if headerValid(data[i:]) {
			return true
		}
	}
	return false
}

// zeroSectorIn reports whether the part of any sector that lies in [from, to) is zero.
func zeroSectorIn(segment []byte, from, to int) bool {
	for from < to {
		end := min(to, (from/sector+1)*sector)
		if allZero(segment[from:end]) {
			return true
		}
		from = end
	}
	return false
}

func allZero(b []byte) bool {
	for _, x := range b {
		if x != 0 {
			return false
		}
	}
	return true
}
