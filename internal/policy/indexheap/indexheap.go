// Package indexheap is a binary heap whose elements know their place, so that
// any of them can be moved or taken out in O(log n).
package indexheap

import "container/heap"

// NotInHeap is the place of an element that is in no heap.
const NotInHeap = -1

// Heap is a heap of elements in the order of less. Place points to where an
// element keeps its place; it is None once the element is taken out.
type Heap[T any] struct {
	inner inner[T]
}

// New returns an empty heap.
func New[T any](less func(a, b T) bool, place func(T) *int) *Heap[T] {
	return &Heap[T]{inner[T]{less: less, place: place}}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.inner.all) }

// First returns the least element; there must be one.
func (h *Heap[T]) First() T { return h.inner.all[0] }

// Last returns an element that has none behind it; there must be one.
func (h *Heap[T]) Last() T { return h.inner.all[len(h.inner.all)-1] }

// All returns the elements in no order. It is valid until the next change.
func (h *Heap[T]) All() []T { return h.inner.all }

// Push adds an element.
func (h *Heap[T]) Push(x T) { heap.Push(&h.inner, x) }

// Remove takes an element out.
func (h *Heap[T]) Remove(x T) { heap.Remove(&h.inner, *h.inner.place(x)) }

// Fix moves an element whose order changed.
func (h *Heap[T]) Fix(x T) { heap.Fix(&h.inner, *h.inner.place(x)) }

// inner implements heap.Interface.
type inner[T any] struct {
	all   []T
	less  func(a, b T) bool
	place func(T) *int
}

func (h *inner[T]) Len() int           { return len(h.all) }
func (h *inner[T]) Less(i, j int) bool { return h.less(h.all[i], h.all[j]) }

func (h *inner[T]) Swap(i, j int) {
	h.all[i], h.all[j] = h.all[j], h.all[i]
	*h.place(h.all[i]) = i
	*h.place(h.all[j]) = j
}

// Push implements heap.Interface.
func (h *inner[T]) Push(x any) {
	element := x.(T)
	*h.place(element) = len(h.all)
	h.all = append(h.all, element)
}

// Pop implements heap.Interface.
func (h *inner[T]) Pop() any {
	last := len(h.all) - 1
	element := h.all[last]
	var none T
	h.all[last] = none
	h.all = h.all[:last]
	*h.place(element) = NotInHeap
	return element
}
