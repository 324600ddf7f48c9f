package storage

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// recordHeaderSize is the size of a record's header: length of the payload (4 bytes), CRC32C of the
	// payload (4), CRC32C of these 8 bytes (4). The payload follows; integers are little endian.
	recordHeaderSize = 12
	sectorSize       = 512 // bytes that a disk writes atomically
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record with the given payload to dst.
func appendRecord(dst, payload []byte) []byte {
	var h [recordHeaderSize]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(h[:8], castagnoli))
	return append(append(dst, h[:]...), payload...)
}

// recordState is the state of the record at an offset.
type recordState uint8

const (
	recordValid recordState = iota
	recordTorn              // an append that a crash interrupted
	recordCorrupt
)

// readRecord reads the record at an offset of a segment. Every append is one record and is synced
// before the next, so an interrupted append is at the end of the file and either lacks bytes or has
// sectors that were never written and read as zero. Any other damage is corruption, also in the last
// record, because that record may have been acknowledged.
func readRecord(segment []byte, offset int) (payload []byte, size int, state recordState) {
	data := segment[offset:]
	if len(data) < recordHeaderSize {
		return nil, 0, recordTorn
	}
	if !headerValid(data) {
		unwritten := hasZeroSector(segment, offset, offset+recordHeaderSize)
		return nil, 0, tornOrCorrupt(unwritten && !containsHeader(data[1:]))
	}
	length := int(binary.LittleEndian.Uint32(data))
	if length > len(data)-recordHeaderSize {
		return nil, 0, recordTorn
	}
	size = recordHeaderSize + length
	payload = data[recordHeaderSize:size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		unwritten := hasZeroSector(segment, offset+recordHeaderSize, offset+size)
		return nil, 0, tornOrCorrupt(unwritten && size == len(data))
	}
	return payload, size, recordValid
}

func tornOrCorrupt(torn bool) recordState {
	if torn {
		return recordTorn
	}
	return recordCorrupt
}

func headerValid(data []byte) bool {
	return crc32.Checksum(data[:8], castagnoli) == binary.LittleEndian.Uint32(data[8:])
}

// containsHeader reports whether a valid record header starts anywhere in data.
func containsHeader(data []byte) bool {
	for i := 0; i+recordHeaderSize <= len(data); i++ {
		if headerValid(data[i:]) {
			return true
		}
	}
	return false
}

// hasZeroSector reports whether the bytes of any one sector within [from, to) are all zero.
func hasZeroSector(segment []byte, from, to int) bool {
	for from < to {
		end := min(to, (from/sectorSize+1)*sectorSize)
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
