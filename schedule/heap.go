package schedule

// indexedHeap is a binary heap that tells its elements their position, so that
// any element can be removed in logarithmic time. It does not allocate once
// its slice has grown.
type indexedHeap struct {
	calls []*call
	less  func(a, b *call) bool
	setIndex func(c *call, i int) // called with -1 on removal
}

func (h *indexedHeap) len() int { return len(h.calls) }

func (h *indexedHeap) head() *call {
	if len(h.calls) == 0 {
		return nil
	}
	return h.calls[0]
}

func (h *indexedHeap) push(c *call) {
	h.calls = append(h.calls, c)
	h.setIndex(c, len(h.calls)-1)
	h.up(len(h.calls) - 1)
}

func (h *indexedHeap) remove(i int) {
	last := len(h.calls) - 1
	c := h.calls[i]
	h.swap(i, last)
	h.calls[last] = nil
	h.calls = h.calls[:last]
	h.setIndex(c, -1)
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *indexedHeap) swap(i, j int) {
	h.calls[i], h.calls[j] = h.calls[j], h.calls[i]
	h.setIndex(h.calls[i], i)
	h.setIndex(h.calls[j], j)
}

func (h *indexedHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.calls[i], h.calls[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.calls); child++ {
			if h.less(h.calls[child], h.calls[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
