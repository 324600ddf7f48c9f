package dispatch

const none = int32(-1)

// item is a queued or running request. Items live in one slab and are linked by index,
// so that admission in the steady state does not allocate.
type item struct {
	req        Request
	arrived    int64   // scheduler time of Submit
	deadline   int64   // scheduler time; noDeadline when the request has none
	started    int64   // scheduler time of dispatch
	charged    float64 // slot-nanoseconds charged to the class at dispatch
	class      int32
	prev, next int32
	running    bool
	cancelled  bool
	long       bool // charged to the allowance of long requests
}

type slab struct {
	items []item
	free  int32
	index map[uint64]int32 // by request identifier
}

func newSlab() slab {
	return slab{free: none, index: make(map[uint64]int32)}
}

func (s *slab) add(it item) int32 {
	i := s.free
	if i == none {
		s.items = append(s.items, it)
		i = int32(len(s.items) - 1)
	} else {
		s.free = s.items[i].next
		s.items[i] = it
	}
	s.index[it.req.ID] = i
	return i
}

func (s *slab) remove(i int32) {
	delete(s.index, s.items[i].req.ID)
	s.items[i] = item{next: s.free}
	s.free = i
}

// fifo is a doubly linked queue of slab items.
type fifo struct {
	head, tail int32
	n          int
}

func (q *fifo) push(s *slab, i int32) {
	it := &s.items[i]
	it.prev, it.next = q.tail, none
	if q.tail == none {
		q.head = i
	} else {
		s.items[q.tail].next = i
	}
	q.tail = i
	q.n++
}

func (q *fifo) unlink(s *slab, i int32) {
	it := &s.items[i]
	if it.prev == none {
		q.head = it.next
	} else {
		s.items[it.prev].next = it.next
	}
	if it.next == none {
		q.tail = it.prev
	} else {
		s.items[it.next].prev = it.prev
	}
	it.prev, it.next = none, none
	q.n--
}
