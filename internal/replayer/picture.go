package replayer

import (
	"fmt"
	"io"
	"maps"
	"slices"

	svg "github.com/ajstarks/svgo"
)

// Size of the picture in pixels.
const (
	pictureWidth  = 1000
	pictureHeight = 420
	pictureMargin = 40
	legendStep    = 150
)

var customerColours = []string{"#4e79a7", "#f28e2b", "#59a14f", "#e15759", "#b07aa1", "#9c755f", "#76b7b2", "#edc948"}

// Draw writes an SVG of the slots that each customer uses over time, stacked.
func (x *Result) Draw(w io.Writer) {
	customers := slices.Sorted(maps.Keys(x.use))
	samples := 0
	for _, t := range customers {
		samples = max(samples, len(x.use[t]))
	}
	canvas := svg.New(w)
	canvas.Start(pictureWidth, pictureHeight)
	defer canvas.End()
	canvas.Rect(0, 0, pictureWidth, pictureHeight, "fill:white")
	canvas.Text(pictureMargin, pictureMargin/2, "slots in use by customer over time, "+x.Policy, "font-size:14px;font-family:sans-serif")
	if samples < 2 {
		return
	}
	base := make([]float64, samples)
	highest := stackHeight(x, samples)
	for i, t := range customers {
		top := slices.Clone(base)
		for n, v := range x.use[t] {
			top[n] += v
		}
		colour := customerColours[i%len(customerColours)]
		xs, ys := outline(base, top, highest)
		canvas.Polygon(xs, ys, "stroke:none;fill:"+colour)
		canvas.Text(pictureMargin+i*legendStep, pictureHeight-pictureMargin/4, string(t), fmt.Sprintf("font-size:12px;font-family:sans-serif;fill:%s", colour))
		base = top
	}
	canvas.Text(2, pictureMargin, fmt.Sprintf("%.0f", highest), "font-size:12px;font-family:sans-serif")
}

func stackHeight(x *Result, samples int) float64 {
	highest := 1.0
	for n := range samples {
		sum := 0.0
		for _, list := range x.use {
			sum += list[n]
		}
		highest = max(highest, sum)
	}
	return highest
}

// outline returns the polygon between two curves.
func outline(base, top []float64, highest float64) (xs, ys []int) {
	n := len(base)
	place := func(i int, v float64) {
		xs = append(xs, pictureMargin+i*(pictureWidth-2*pictureMargin)/(n-1))
		ys = append(ys, pictureHeight-pictureMargin-int(v/highest*(pictureHeight-2*pictureMargin)))
	}
	for i := range n {
		place(i, top[i])
	}
	for i := n - 1; i >= 0; i-- {
		place(i, base[i])
	}
	return xs, ys
}
