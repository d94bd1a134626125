package replayer

import (
	"fmt"
	"io"
	"maps"
	"slices"

	svg "github.com/ajstarks/svgo"
)

// Dimensions of the chart in pixels.
const (
	chartWidth    = 1000
	chartHeight   = 420
	chartMargin   = 40
	legendSpacing = 150
)

var customerColours = []string{"#4e79a7", "#f28e2b", "#59a14f", "#e15759", "#b07aa1", "#9c755f", "#76b7b2", "#edc948"}

// Draw writes a stacked area chart, as SVG, of the slots that each customer uses over time.
func (r *Result) Draw(w io.Writer) {
	customers := slices.Sorted(maps.Keys(r.slotsInUse))
	samples := 0
	for _, customer := range customers {
		samples = max(samples, len(r.slotsInUse[customer]))
	}
	canvas := svg.New(w)
	canvas.Start(chartWidth, chartHeight)
	defer canvas.End()
	canvas.Rect(0, 0, chartWidth, chartHeight, "fill:white")
	canvas.Text(chartMargin, chartMargin/2, "slots in use by customer over time, "+r.Policy, "font-size:14px;font-family:sans-serif")
	if samples < 2 {
		return
	}
	base := make([]float64, samples)
	maximum := maximumStackHeight(r, samples)
	for i, customer := range customers {
		top := slices.Clone(base)
		for n, v := range r.slotsInUse[customer] {
			top[n] += v
		}
		colour := customerColours[i%len(customerColours)]
		xs, ys := outline(base, top, maximum)
		canvas.Polygon(xs, ys, "stroke:none;fill:"+colour)
		canvas.Text(chartMargin+i*legendSpacing, chartHeight-chartMargin/4, string(customer), fmt.Sprintf("font-size:12px;font-family:sans-serif;fill:%s", colour))
		base = top
	}
	canvas.Text(2, chartMargin, fmt.Sprintf("%.0f", maximum), "font-size:12px;font-family:sans-serif")
}

func maximumStackHeight(result *Result, samples int) float64 {
	maximum := 1.0
	for n := range samples {
		sum := 0.0
		for _, series := range result.slotsInUse {
			sum += series[n]
		}
		maximum = max(maximum, sum)
	}
	return maximum
}

// outline returns the polygon between two curves, in pixels; maximum is the value at the top of the chart.
func outline(base, top []float64, maximum float64) (xs, ys []int) {
	n := len(base)
	addPoint := func(i int, v float64) {
		xs = append(xs, chartMargin+i*(chartWidth-2*chartMargin)/(n-1))
		ys = append(ys, chartHeight-chartMargin-int(v/maximum*(chartHeight-2*chartMargin)))
	}
	for i := range n {
		addPoint(i, top[i])
	}
	for i := n - 1; i >= 0; i-- {
		addPoint(i, base[i])
	}
	return xs, ys
}
