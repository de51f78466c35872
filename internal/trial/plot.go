package trial

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// The layout of a plot in pixels.
const (
	plotLeft      = 170
	plotWidth     = 640
	plotRowHeight = 18
	plotTop       = 50
	plotBottom    = 40
)

// axisStart and axisEnd are the ends of the logarithmic time axis.
const (
	axisStart = 10 * time.Millisecond
	axisEnd   = 1000 * time.Second
)

// bandColours are the colours of the length bands.
var bandColours = [bands]string{"#1b7837", "#7fbf7b", "#c9a227", "#d95f02", "#7b3294"}

// bandNames are the labels of the length bands.
var bandNames = [bands]string{"up to 4k", "to 32k", "to 100k", "to 400k", "over 400k"}

// plot returns an SVG plot of the 95th percentile of the time to first token, with one
// row for each policy and one mark for each length band.
func plot(t Trial) string {
	var b strings.Builder
	height := plotTop + plotRowHeight*len(t.Results) + plotBottom
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		plotLeft+plotWidth+20, height)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/>`+"\n")
	fmt.Fprintf(&b, `<text x="10" y="18" font-size="14">%s, %s: time to first token, 95th percentile</text>`+"\n", t.Workload, t.Scenario)
	for i, name := range bandNames {
		x := plotLeft + i*110
		fmt.Fprintf(&b, `<circle cx="%d" cy="34" r="4" fill="%s"/><text x="%d" y="38">%s</text>`+"\n", x, bandColours[i], x+8, name)
	}
	for d := axisStart; d <= axisEnd; d *= 10 {
		x := plotX(d)
		fmt.Fprintf(&b, `<line x1="%.0f" y1="%d" x2="%.0f" y2="%d" stroke="#ddd"/><text x="%.0f" y="%d" text-anchor="middle">%s</text>`+"\n",
			x, plotTop, x, height-plotBottom, x, height-plotBottom+16, d)
	}
	for i, r := range t.Results {
		plotResult(&b, r, plotTop+plotRowHeight*i+plotRowHeight/2)
	}
	b.WriteString("</svg>\n")
	return b.String()
}

// plotResult draws the row of one policy.
func plotResult(b *strings.Builder, r Result, y int) {
	fmt.Fprintf(b, `<text x="%d" y="%d" text-anchor="end">%s</text>`+"\n", plotLeft-10, y+4, r.Contender)
	for i, q := range r.FirstToken {
		if q.N > 0 {
			fmt.Fprintf(b, `<circle cx="%.1f" cy="%d" r="4" fill="%s"/>`+"\n", plotX(q.P95), y, bandColours[i])
		}
	}
}

// plotX returns the horizontal position of a time in pixels.
func plotX(d time.Duration) float64 {
	d = min(max(d, axisStart), axisEnd)
	x := math.Log(float64(d)/float64(axisStart)) / math.Log(float64(axisEnd)/float64(axisStart))
	return plotLeft + x*plotWidth
}
