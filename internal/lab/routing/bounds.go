package routing

import "siskinloom.example/siskinloom/internal/bounds"

// Bounds lists the measurements of this package.
func Bounds() []bounds.Measurement {
	return []bounds.Measurement{
		{Name: "callers.ontime", Run: onTime},
		{Name: "callers.share", Run: shares},
		{Name: "callers.goodput", Run: goodput},
		{Name: "callers.slow_engine", Run: slowEngine},
		{Name: "callers.drain", Run: drain},
		{Name: "route.allocs", Run: allocations, Exclusive: true},
		{Name: "route.hot_prefix", Run: hotPrefixShare},
		{Name: "membership.fanout", Run: fanout},
		{Name: "control.parts", Run: controlParts},
		{Name: "membership.list", Run: listReadDelay},
		{Name: "recovery.storm", Run: storm},
	}
}
