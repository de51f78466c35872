package policy

// Band is a range of prompt lengths. The prompts of a band are scheduled alike.
type Band int

// The bands, by the longest prompt of each in tokens.
const (
	Short  Band = iota // up to 4,000 tokens
	Medium             // up to 32,000
	Large              // up to 100,000
	Long               // up to 400,000
	Huge               // over
	// NumBands is the number of bands.
	NumBands
)

// maxBandTokens is the longest prompt of each band but the last, in tokens.
var maxBandTokens = [NumBands - 1]int{4_000, 32_000, 100_000, 400_000}

// BandOf returns the band of a prompt of the given number of tokens.
func BandOf(prompt int) Band {
	for b, n := range maxBandTokens {
		if prompt <= n {
			return Band(b)
		}
	}
	return Huge
}

// isLong reports whether the prefill of the band's prompts noticeably delays short
// prompts.
func (b Band) isLong() bool { return b >= Large }
