package daemon

// ShardCount exports shardCount for tests that place upstreams on one owner core.
const ShardCount = shardCount
