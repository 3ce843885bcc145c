// Package bounds holds the limits that benchmarks and tests check against; they come from the requirements.
package bounds

import "time"

const (
	// MaxInRateRejectionShare is the maximum share of requests within their organisation's rate that may be rejected in the absence of failures.
	MaxInRateRejectionShare = 0.001
	// MaxKeyRevocationTime is the time after which every process must reject a withdrawn key.
	MaxKeyRevocationTime = 5 * time.Second
	// MaxConfigPropagationTime is the time after which every process must apply an accepted configuration.
	MaxConfigPropagationTime = 11 * time.Second
	// MaxControlBytesPerSecond is the maximum control-plane traffic per node in bytes per second.
	MaxControlBytesPerSecond = 2048
	// MaxOnlineSlowdown is the maximum factor by which saturating batch work may raise the online 99th percentile of the time
	// to first token.
	MaxOnlineSlowdown = 1.10
	// MinBatchShare is the minimum share of idle capacity that batch work must use.
	MinBatchShare = 0.90
	// MaxDrainDetectionTime is the time after which a leaving backend server must receive no new work.
	MaxDrainDetectionTime = 3 * time.Second
	// MaxStoreWritesPerSecond is the maximum rate of writes to the key-value service by all batch jobs together.
	MaxStoreWritesPerSecond = 100
	// BatchItemsPerDay is the number of batch items that the target system processes per day.
	BatchItemsPerDay = 140_000_000
	// StoreReadsPerSecond is the read capacity of the key-value service.
	StoreReadsPerSecond = 2000
)
