package dispatch

const noItem = int32(-1)

// item is a queued or running request. Items are stored in one slab and linked by index,
// so that admission does not allocate memory in the steady state.
type item struct {
	req           Request
	arrived       int64   // scheduler time of Submit
	deadline      int64   // scheduler time; noDeadline if the request has none
	started       int64   // scheduler time of dispatch
	chargedTime   float64 // slot-nanoseconds charged to the class at dispatch
	class         int32
	prev, next    int32
	running       bool
	cancelled     bool
	usesAllowance bool // charged to the allowance of long requests
}

type itemSlab struct {
	items    []item
	freeHead int32
	index    map[uint64]int32 // by request ID
}

func newSlab() itemSlab {
	return itemSlab{freeHead: noItem, index: make(map[uint64]int32)}
}

func (s *itemSlab) add(it item) int32 {
	i := s.freeHead
	if i == noItem {
		s.items = append(s.items, it)
		i = int32(len(s.items) - 1)
	} else {
		s.freeHead = s.items[i].next
		s.items[i] = it
	}
	s.index[it.req.ID] = i
	return i
}

func (s *itemSlab) remove(i int32) {
	delete(s.index, s.items[i].req.ID)
	s.items[i] = item{next: s.freeHead}
	s.freeHead = i
}

// fifo is a doubly linked queue of slab items.
type fifo struct {
	head, tail int32
	length     int
}

func (q *fifo) push(s *itemSlab, i int32) {
	it := &s.items[i]
	it.prev, it.next = q.tail, noItem
	if q.tail == noItem {
		q.head = i
	} else {
		s.items[q.tail].next = i
	}
	q.tail = i
	q.length++
}

func (q *fifo) unlink(s *itemSlab, i int32) {
	it := &s.items[i]
	if it.prev == noItem {
		q.head = it.next
	} else {
		s.items[it.prev].next = it.next
	}
	if it.next == noItem {
		q.tail = it.prev
	} else {
		s.items[it.next].prev = it.prev
	}
	it.prev, it.next = noItem, noItem
	q.length--
}
