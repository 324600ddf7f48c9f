package daemon

// ShardCount is for tests that place upstreams on one owner core.
const ShardCount = shardCount
