package cli

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against answers that garble the terminal, such as those of a stand-in, which begin with two
// binary numbers.
func TestAnswersAreReadable(t *testing.T) {
	assert.Equal(t, readable([]byte("\x00\x01\x1b[2Jsheet 7\n\xff")), `\x00\x01\x1b[2Jsheet 7`+"\n"+`\xff`)
	assert.Equal(t, readable([]byte("Perth → Malaga\tઅમદાવાદ")), "Perth → Malaga\tઅમદાવાદ")
	assert.Equal(t, readable(nil), "")
}
