package main

import (
	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/lab/routing"
)

// The reference fleet has the long-term target size of a deployment, which the users
// expect within two years.
const (
	referenceEntries = 370
	referenceDuties  = 64 // also the number of duties in the run that measures their key-value calls
)

// controlFigures returns the bytes per second that control work sends and receives
// at the busiest node of the reference fleet. It adds up heartbeats, instance list,
// epochs, configuration, leases and orders of each node, and takes the maximum over
// all entries and several assignments of the duties. It returns no figures if one of
// the needed measurements was not run.
func controlFigures(figures []bounds.Figure) ([]bounds.Figure, error) {
	m, all := byName(figures, "control.bytes_per_s.list", "control.bytes_per_s.fences",
		"control.lease_read_bytes", "control.lease_write_bytes", "duties.kv_reads_per_s", "duties.kv_writes_per_s",
		"config.kv_calls_per_s", "control.config_read_bytes", "config.spread_bytes_per_s",
		"weights.orders", "weights.engines", "control.order_bytes", "control.bytes_per_s_agent")
	if !all {
		return nil, nil
	}
	nodes, err := routing.ControlNodes()
	if err != nil {
		return nil, err
	}
	standbyDuties := 0
	for _, n := range nodes {
		standbyDuties += n.StandbyDuties
	}
	standbysPerDuty := float64(standbyDuties) * referenceEntries / float64(len(nodes)) / referenceDuties
	holdBytes := m["duties.kv_writes_per_s"] / referenceDuties * m["control.lease_write_bytes"]
	standbyBytes := m["duties.kv_reads_per_s"] / referenceDuties / standbysPerDuty * m["control.lease_read_bytes"]
	config := m["config.kv_calls_per_s"]/referenceEntries*m["control.config_read_bytes"] + m["config.spread_bytes_per_s"]
	orders := m["weights.orders"] / m["weights.engines"] / versionSeconds * m["control.order_bytes"] // of one engine
	common := m["control.bytes_per_s.list"] + m["control.bytes_per_s.fences"] + config
	busiest, maxLeases, maxOrders := m["control.bytes_per_s_agent"]+orders, 0.0, 0.0
	for _, n := range nodes {
		lease := float64(n.HeldDuties)*holdBytes + float64(n.StandbyDuties)*standbyBytes
		order := float64(n.Engines) * orders
		maxLeases, maxOrders = max(maxLeases, lease), max(maxOrders, order)
		busiest = max(busiest, n.Heartbeats+common+lease+order)
	}
	return []bounds.Figure{
		{Name: "control.bytes_per_s", Value: busiest},
		{Name: "control.bytes_per_s.leases", Value: maxLeases},
		{Name: "control.bytes_per_s.config", Value: config},
		{Name: "control.bytes_per_s.orders", Value: maxOrders},
	}, nil
}
