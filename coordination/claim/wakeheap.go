package claim

import (
	"container/heap"
	"time"
)

// wakeHeap is a container/heap that orders entries by wakeTime.
type wakeHeap []*entry

// Len returns the number of entries in the heap. It implements heap.Interface, as do the
// four methods below.
func (h wakeHeap) Len() int { return len(h) }

// Less reports whether entry i wakes before entry j.
func (h wakeHeap) Less(i, j int) bool { return h[i].wakeTime.Before(h[j].wakeTime) }

// Swap exchanges two entries and updates their heapIndex.
func (h wakeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends an entry. Only container/heap calls it.
func (h *wakeHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry. Only container/heap calls it.
func (h *wakeHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = nil
	*h = (*h)[:len(*h)-1]
	last.heapIndex = -1
	return last
}

// set adds the entry or moves it to the given wake time; a zero time removes it.
func (h *wakeHeap) set(e *entry, wake time.Time) {
	if wake.IsZero() {
		h.remove(e)
		return
	}
	e.wakeTime = wake
	if e.heapIndex < 0 {
		heap.Push(h, e)
		return
	}
	heap.Fix(h, e.heapIndex)
}

func (h *wakeHeap) remove(e *entry) {
	if e.heapIndex >= 0 {
		heap.Remove(h, e.heapIndex)
	}
}
