// Package indexheap implements a binary heap whose elements store their own index, so
// that any element can be moved or removed in O(log n).
package indexheap

import "container/heap"

// NotInHeap is the index of an element that is not in a heap.
const NotInHeap = -1

// Heap is a heap of elements ordered by a less function.
type Heap[T any] struct {
	inner inner[T]
}

// New returns an empty heap ordered by less. The index function returns a pointer to
// the variable in which an element stores its index. The heap keeps that variable up
// to date and sets it to NotInHeap when the element is removed.
func New[T any](less func(a, b T) bool, index func(T) *int) *Heap[T] {
	return &Heap[T]{inner[T]{less: less, index: index}}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.inner.elements) }

// First returns the least element. The heap must not be empty.
func (h *Heap[T]) First() T { return h.inner.elements[0] }

// Last returns the element at the highest index. No element is its child, but it is
// not necessarily the greatest. The heap must not be empty.
func (h *Heap[T]) Last() T { return h.inner.elements[len(h.inner.elements)-1] }

// All returns the elements in no particular order. The slice is valid until the next
// change of the heap.
func (h *Heap[T]) All() []T { return h.inner.elements }

// Push adds an element.
func (h *Heap[T]) Push(x T) { heap.Push(&h.inner, x) }

// Remove removes an element, which must be in the heap.
func (h *Heap[T]) Remove(x T) { heap.Remove(&h.inner, *h.inner.index(x)) }

// Fix restores the order of the heap after the order of an element has changed.
func (h *Heap[T]) Fix(x T) { heap.Fix(&h.inner, *h.inner.index(x)) }

// inner implements heap.Interface.
type inner[T any] struct {
	elements []T
	less     func(a, b T) bool
	index    func(T) *int
}

func (h *inner[T]) Len() int           { return len(h.elements) }
func (h *inner[T]) Less(i, j int) bool { return h.less(h.elements[i], h.elements[j]) }

func (h *inner[T]) Swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	*h.index(h.elements[i]) = i
	*h.index(h.elements[j]) = j
}

// Push implements heap.Interface.
func (h *inner[T]) Push(x any) {
	element := x.(T)
	*h.index(element) = len(h.elements)
	h.elements = append(h.elements, element)
}

// Pop implements heap.Interface.
func (h *inner[T]) Pop() any {
	last := len(h.elements) - 1
	element := h.elements[last]
	var zero T
	h.elements[last] = zero
	h.elements = h.elements[:last]
	*h.index(element) = NotInHeap
	return element
}
