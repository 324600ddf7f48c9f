package agreement

// WithoutPreVote returns the configuration with pre-vote disabled.
func (c Config) WithoutPreVote() Config {
	c.withoutPreVote = true
	return c
}
