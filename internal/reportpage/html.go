package reportpage

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/persimmonmux/persimmonmux/coordination/dailyreport"
)

// The sizes of a plot and of a bar in it.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 12 * vg.Millimeter
)

// The colors of plots. The grays differ enough to be told apart in black-and-white
// print.
var (
	lightGray  = color.Gray{Y: 215}
	mediumGray = color.Gray{Y: 140}
	darkGray   = color.Gray{Y: 40}
)

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"attained": formatAttainedShare, "share": dailyreport.FormatPercent, "total": sumCounts, "doubtful": formatUncertainBookings, "cells": percentileCells,
	"period": formatPeriod, "reasons": failureCounts, "missing": missingRecords,
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Page of {{.Page.Date}}</title>
<style>
body { font-family: sans-serif; color: black; background: white; max-width: 60em; margin: 1em auto; padding: 0 1em; }
table { border-collapse: collapse; }
th, td { border-bottom: 1px solid gray; padding: 0.2em 0.6em; text-align: left; }
svg { max-width: 100%; height: auto; }
.judgment { border: 2px solid black; padding: 0.5em; }
</style>
</head>
<body>
<h1>Page of {{.Page.Date}}</h1>
<p class="judgment">Did the day go well? <strong>{{.Page.Compliance}}</strong>: {{.Page.Reason}}</p>
<p>{{period .Page}}, {{.Page.HostCount}} hosts</p>
<h2>Answers in time</h2>
<table>
<tr><th>application</th><th>kind</th><th>in time</th><th>objective</th><th>met</th><th>requests</th><th>late</th><th>refused</th><th>may have run</th><th>callers' faults</th><th>deadline</th></tr>
{{range .Page.Results}}<tr><td>{{.Application}}</td><td>{{.Kind}}</td><td>{{attained .}}</td><td>{{share .Objective}}</td><td>{{.Compliance}}</td><td>{{.Counted}}</td><td>{{.Late}}</td><td>{{total .Refused}}</td><td>{{total .MayHaveRun}}</td><td>{{.CallerFaults}}</td><td>{{.Timeout}}</td></tr>
{{end}}</table>
{{with .Shares}}{{.}}{{end}}
<h2>Requests by minute</h2>
{{with .Minutes}}{{.}}{{else}}<p>No minute was recorded.</p>{{end}}
<h2>Load stalls and whole answers</h2>
<table>
<tr><th>application</th><th>kind</th><th>stalls</th><th>p50</th><th>p95</th><th>p99</th><th>answers</th><th>p50</th><th>p95</th><th>p99</th></tr>
{{range .Page.Results}}<tr><td>{{.Application}}</td><td>{{.Kind}}</td>{{range cells .LoadStalls}}<td>{{.}}</td>{{end}}{{range cells .Durations}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{with .Stalls}}{{.}}{{end}}
<h2>Bookings</h2>
<table>
<tr><th>application</th><th>kind</th><th>landed</th><th>declined</th><th>refused</th><th>may have run</th></tr>
{{range .Page.Results}}{{if .RepeatForbidden}}<tr><td>{{.Application}}</td><td>{{.Kind}}</td><td>{{.Succeeded}}</td><td>{{.ErrorResponses}}</td><td>{{total .Refused}}</td><td>{{doubtful .}}</td></tr>
{{end}}{{end}}</table>
<ul>
{{range $line := .Page.Results}}{{range .UncertainRequests}}<li>to look up, it may have run: {{.ID}} of caller {{.Caller}} ({{$line.Application}} {{$line.Kind}})</li>
{{end}}{{end}}{{range reasons .Page}}<li>{{.}}</li>
{{end}}</ul>
<h2>Missing records</h2>
<ul>
{{range missing .Page}}<li>{{.}}</li>
{{end}}</ul>
</body>
</html>
`))

// WriteHTML writes the report as one HTML page with embedded plots. The page loads no
// other file.
func WriteHTML(w io.Writer, report *dailyreport.Report) error {
	content := struct {
		Page                    *dailyreport.Report
		Shares, Minutes, Stalls template.HTML
	}{Page: report}
	for _, slot := range []struct {
		svg  *template.HTML
		plot func(*dailyreport.Report) (*plot.Plot, error)
	}{{&content.Shares, plotShares}, {&content.Minutes, plotMinutes}, {&content.Stalls, plotStalls}} {
		p, err := slot.plot(report)
		if err != nil {
			return err
		}
		if p == nil {
			continue
		}
		if *slot.svg, err = renderSVG(p); err != nil {
			return err
		}
	}
	return pageTemplate.Execute(w, content)
}

// renderSVG returns a plot as an SVG element. The XML declaration that the plot
// library writes is removed, because it is not allowed inside an HTML page.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	start := bytes.Index(b.Bytes(), []byte("<svg"))
	if start < 0 {
		return "", fmt.Errorf("plot %q: no SVG element", p.Title.Text)
	}
	// The plot library escapes the names that it writes, so the element is safe to
	// embed.
	return template.HTML(b.Bytes()[start:]), nil
}

// plotShares returns a plot of the share of requests answered in time as bars and of
// the objectives as lines, or nil if there are no results.
func plotShares(report *dailyreport.Report) (*plot.Plot, error) {
	if len(report.Results) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text = "Answers in time (bars) and objectives (thick lines)"
	p.Y.Label.Text = "percent"
	p.Y.Min, p.Y.Max = 0, 100
	var shares plotter.Values
	var objectives []plot.Plotter
	for i := range report.Results {
		share, _ := report.Results[i].AttainedShare()
		shares = append(shares, 100*share)
		objective, err := plotter.NewLine(plotter.XYs{
			{X: float64(i) - 0.4, Y: 100 * report.Results[i].Objective}, {X: float64(i) + 0.4, Y: 100 * report.Results[i].Objective},
		})
		if err != nil {
			return nil, err
		}
		objective.Width = vg.Points(2.5)
		objectives = append(objectives, objective)
	}
	bars, err := grayBars(shares, lightGray, 0)
	if err != nil {
		return nil, err
	}
	p.Add(bars)
	p.Add(objectives...)
	p.NominalX(resultLabels(report)...)
	p.X.Min, p.X.Max = -0.6, float64(len(report.Results))-0.4
	return p, nil
}

// plotMinutes returns a plot of the requests and the answers in time of each minute,
// or nil if there are no minutes. Gaps in the records are gray bands. A minute without
// records interrupts the lines.
func plotMinutes(report *dailyreport.Report) (*plot.Plot, error) {
	if len(report.Minutes) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text = "Requests (solid), answers in time (dashed), missing records (gray)"
	p.Y.Label.Text = "per minute"
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04"}
	highest := 1.0
	for i := range report.Minutes {
		highest = max(highest, float64(report.Minutes[i].Counted))
	}
	for i := range report.Gaps {
		from, until := float64(report.Gaps[i].From.Unix()), float64(report.Gaps[i].Until.Unix())
		band, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: until, Y: 0}, {X: until, Y: highest}, {X: from, Y: highest}})
		if err != nil {
			return nil, err
		}
		band.Color, band.Width = lightGray, 0
		p.Add(band)
	}
	for _, run := range contiguousRuns(report.Minutes) {
		var counted, inTime plotter.XYs
		for _, m := range run {
			// Two points per minute draw its count as a horizontal step.
			for _, x := range []time.Time{m.From, m.From.Add(time.Minute)} {
				counted = append(counted, plotter.XY{X: float64(x.Unix()), Y: float64(m.Counted)})
				inTime = append(inTime, plotter.XY{X: float64(x.Unix()), Y: float64(m.InTime)})
			}
		}
		solid, err := plotter.NewLine(counted)
		if err != nil {
			return nil, err
		}
		dashed, err := plotter.NewLine(inTime)
		if err != nil {
			return nil, err
		}
		dashed.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(solid, dashed)
	}
	p.Y.Min = 0
	return p, nil
}

// contiguousRuns splits minutes into runs without a missing minute.
func contiguousRuns(minutes []dailyreport.Minute) [][]dailyreport.Minute {
	var split [][]dailyreport.Minute
	for i, m := range minutes {
		if i == 0 || !minutes[i-1].From.Add(time.Minute).Equal(m.From) {
			split = append(split, nil)
		}
		split[len(split)-1] = append(split[len(split)-1], m)
	}
	return split
}

// plotStalls returns a plot of the percentiles of load stalls, with three bars for each
// application and kind that had any, or nil if none had.
func plotStalls(report *dailyreport.Report) (*plot.Plot, error) {
	var p50s, p95s, p99s plotter.Values
	var labels []string
	for i, name := range resultLabels(report) {
		s := report.Results[i].LoadStalls
		if s.Count == 0 {
			continue
		}
		labels = append(labels, name)
		p50s = append(p50s, s.P50.Seconds())
		p95s = append(p95s, s.P95.Seconds())
		p99s = append(p99s, s.P99.Seconds())
	}
	if len(labels) == 0 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text = "Load stalls: p50 (light), p95 (middle), p99 (dark)"
	p.Y.Label.Text = "seconds"
	p.Y.Min = 0
	for i, group := range []struct {
		values plotter.Values
		gray   color.Gray
	}{{p50s, lightGray}, {p95s, mediumGray}, {p99s, darkGray}} {
		bars, err := grayBars(group.values, group.gray, vg.Length(i-1)*barWidth)
		if err != nil {
			return nil, err
		}
		p.Add(bars)
	}
	p.NominalX(labels...)
	p.X.Min, p.X.Max = -0.6, float64(len(labels))-0.4
	return p, nil
}

// grayBars returns one bar for each value. Offset shifts the bars from their nominal
// positions, so that several sets stand side by side.
func grayBars(values plotter.Values, gray color.Gray, offset vg.Length) (*plotter.BarChart, error) {
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return nil, err
	}
	bars.Color, bars.Offset = gray, offset
	bars.LineStyle.Width = vg.Points(1)
	return bars, nil
}

// resultLabels returns application and kind of each result.
func resultLabels(report *dailyreport.Report) []string {
	labels := make([]string, len(report.Results))
	for i := range report.Results {
		labels[i] = fmt.Sprintf("%s %s", report.Results[i].Application, report.Results[i].Kind)
	}
	return labels
}
