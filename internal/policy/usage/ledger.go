package usage

import (
	"maps"
	"slices"
)

// Source is one start of a process that counts.
type Source struct {
	Process string
	Boot    int64 // Unix nanoseconds of its start
}

// Ledger holds what processes told of their counts. It is not safe for concurrent use.
type Ledger struct {
	rules   Config
	sources map[Source]*told
}

type told struct {
	through Window
	windows map[Window]Counts
}

// NewLedger returns a ledger that was told nothing.
func NewLedger(rules Config) *Ledger { return &Ledger{rules: rules, sources: map[Source]*told{}} }

// Take takes in what a process told.
func (l *Ledger) Apply(t Update) {
	source := Source{Process: t.Process, Boot: t.Boot}
	known := l.sources[source]
	if known == nil {
		known = &told{through: t.Through, windows: map[Window]Counts{}}
		l.sources[source] = known
	}
	known.through = max(known.through, t.Through)
	for _, tally := range t.Tallies {
		counts := known.windows[tally.Window]
		if counts == nil {
			counts = Counts{}
			known.windows[tally.Window] = counts
		}
		counts.raise(tally.Counts)
	}
}

// Missing returns the processes, of those given, whose counts of a window are not final.
// One that started after the window's end has none.
func (l *Ledger) Missing(w Window, expected []Source) []string {
	end := l.rules.WindowEnd(w).UnixNano()
	var missing []string
	for _, source := range expected {
		known := l.sources[source]
		if source.Boot < end && (known == nil || known.through < w) {
			missing = append(missing, source.Process)
		}
	}
	return missing
}

// Oldest returns the first window of which counts were told; found is false if none were.
func (l *Ledger) OldestWindow() (oldest Window, found bool) {
	for _, known := range l.sources {
		for w := range known.windows {
			if !found || w < oldest {
				oldest, found = w, true
			}
		}
	}
	return oldest, found
}

// Sum returns a window's counts of all processes, also of those that are gone.
func (l *Ledger) Sum(w Window) Counts {
	sum := Counts{}
	for _, known := range l.sources {
		sum.add(known.windows[w])
	}
	return sum
}

// Forget forgets the windows before one, and processes of which nothing else is known
// and that are not among those expected.
func (l *Ledger) Prune(before Window, expected []Source) {
	for source, known := range l.sources {
		maps.DeleteFunc(known.windows, func(w Window, _ Counts) bool { return w < before })
		if len(known.windows) == 0 && known.through < before && !slices.Contains(expected, source) {
			delete(l.sources, source)
		}
	}
}
