package load

import (
	"fmt"
	"math"
	"strings"
)

// The chart's size and margin in pixels.
const (
	chartWidth, chartHeight = 720, 420
	chartMargin             = 60
	// chartMinExponent and chartMaxExponent are the ends of the logarithmic time
	// axis: powers of ten in milliseconds.
	chartMinExponent, chartMaxExponent = -1, 5
)

// percentiles returns the percentiles that a curve shows.
func percentiles() []float64 {
	return []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9}
}

// SVG returns a chart of the time to first token with one curve for each class. The x axis
// shows percentiles, the y axis milliseconds on a logarithmic scale.
func (r *Report) SVG() string {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		chartWidth, chartHeight)
	b.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	drawAxes(&b)
	for i, c := range r.Classes {
		c.drawCurve(&b, i, len(r.Classes))
	}
	b.WriteString("</svg>\n")
	return b.String()
}

// drawAxes draws the grid lines and the labels of both axes.
func drawAxes(b *strings.Builder) {
	for e := chartMinExponent; e <= chartMaxExponent; e++ {
		y := curveY(math.Pow10(e))
		fmt.Fprintf(b, `<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#ddd"/>`+"\n", chartMargin, y, chartWidth-chartMargin, y)
		fmt.Fprintf(b, `<text x="%d" y="%.1f" text-anchor="end">%g ms</text>`+"\n", chartMargin-6, y+4, math.Pow10(e))
	}
	for i, q := range percentiles() {
		fmt.Fprintf(b, `<text x="%.1f" y="%d" text-anchor="middle">p%g</text>`+"\n", curveX(i), chartHeight-chartMargin+20, q)
	}
	fmt.Fprintf(b, `<text x="%d" y="24">time to first token, by prompt length in tokens</text>`+"\n", chartMargin)
}

// drawCurve draws the curve and the label of class i of n.
func (c *Class) drawCurve(b *strings.Builder, i, n int) {
	if c.firstToken.TotalCount() == 0 {
		return
	}
	hue := 360 * i / n
	var points []string
	for k, q := range percentiles() {
		ms := float64(c.firstToken.ValueAtQuantile(q)) / 1000
		points = append(points, fmt.Sprintf("%.1f,%.1f", curveX(k), curveY(ms)))
	}
	fmt.Fprintf(b, `<polyline points="%s" fill="none" stroke="hsl(%d,70%%,40%%)" stroke-width="2"/>`+"\n", strings.Join(points, " "), hue)
	name := fmt.Sprint(c.Tokens)
	if c.Tokens == 0 {
		name = "call"
	}
	fmt.Fprintf(b, `<text x="%d" y="%d" fill="hsl(%d,70%%,40%%)">%s</text>`+"\n", chartWidth-chartMargin+6, chartMargin+16*i, hue, name)
}

// curveX returns the x position of percentile i in pixels.
func curveX(i int) float64 {
	return chartMargin + float64(chartWidth-2*chartMargin)*float64(i)/float64(len(percentiles())-1)
}

// curveY returns the y position of a time in pixels.
func curveY(ms float64) float64 {
	share := (math.Log10(max(ms, 0.1)) - chartMinExponent) / (chartMaxExponent - chartMinExponent)
	return chartHeight - chartMargin - share*(chartHeight-2*chartMargin)
}
