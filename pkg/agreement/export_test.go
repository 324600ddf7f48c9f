package agreement

// WithoutPreVote returns the configuration with pre-vote switched off.
func (c Config) WithoutPreVote() Config {
	c.withoutPreVote = true
	return c
}
