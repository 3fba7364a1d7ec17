package batchrun

// Distrusted tells whether a process was found silent lately.
func (d *Desk) Distrusted(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, found := d.silent[name]
	return found
}
