// Package bounds holds the bounds of benchmarks and tests, which come from the brief and the target.
package bounds

import "time"

const (
	// InRateRefusals is the share of requests inside their organisation's rate that may be refused without a fault.
	InRateRefusals = 0.001
	// MaxKeyRevocationTime is the time after which a withdrawn key must be refused everywhere.
	MaxKeyRevocationTime = 5 * time.Second
	// MaxConfigPropagationTime is the time after which an accepted configuration must be in force everywhere.
	MaxConfigPropagationTime = 11 * time.Second
	// ControlBytes is the number of bytes that control may send per node and second.
	ControlBytes = 2048
	// MaxOnlineSlowdown is the factor by which saturating batch work may raise the online 99th percentile of the time to first token.
	MaxOnlineSlowdown = 1.10
	// BatchShare is the share of the idle capacity that batch work must use.
	BatchShare = 0.90
	// MaxDrainDetectionTime is the time after which a leaving backend server must get no new work.
	MaxDrainDetectionTime = 3 * time.Second
	// StoreWritesPerSecond is the number of writes on the key-value service that all batch jobs together may make.
	StoreWritesPerSecond = 100
	// BatchItemsPerDay is the number of batch items that the target carries.
	BatchItemsPerDay = 140_000_000
	// StoreReadsPerSecond is the number of reads that the key-value service handles.
	StoreReadsPerSecond = 2000
)
