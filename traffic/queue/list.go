package queue

// list is a doubly linked list through the tickets, so that queueing
// allocates nothing.
type list struct {
	first, last *Ticket
	length      int
}

func (l *list) pushBack(t *Ticket) {
	t.list, t.prev, t.next = l, l.last, nil
	if l.last == nil {
		l.first = t
	} else {
		l.last.next = t
	}
	l.last = t
	l.length++
}

func (l *list) pushFront(t *Ticket) {
	t.list, t.prev, t.next = l, nil, l.first
	if l.first == nil {
		l.last = t
	} else {
		l.first.prev = t
	}
	l.first = t
	l.length++
}

func (l *list) remove(t *Ticket) {
	if t.prev == nil {
		l.first = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		l.last = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.list, t.prev, t.next = nil, nil, nil
	l.length--
}
