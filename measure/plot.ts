import type {Point} from './statistics.js';

/** One named line of a plot. */
export interface Series {
  readonly name: string;
  readonly points: readonly Point[];
}

/** A line plot. */
export interface Plot {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly Series[];
  /** Whether the y axis is logarithmic; values of 0 or less are left out. */
  readonly logY?: boolean;
}

const WIDTH_PX = 720;
const HEIGHT_PX = 400;
const MARGIN_PX = {left: 70, right: 160, top: 40, bottom: 50};
const TICKS = 5;
const COLOURS = [
  '#0b6e99',
  '#d9730d',
  '#4d6461',
  '#ad1a72',
  '#6940a5',
  '#448361',
];

/** Maps a value to a position in pixels. */
type Scale = (value: number) => number;

/**
 * Draws a line plot as an SVG document.
 *
 * @throws {RangeError} when no point can be drawn.
 *
 * @example
 * drawPlot({title: 'Cost', xLabel: 'members', yLabel: 'ms',
 *   series: [{name: 'plan', points: [{x: 1, y: 2}, {x: 2, y: 3}]}]});
 */
export function drawPlot(plot: Plot): string {
  const series = plot.series.map(s => ({
    ...s,
    points: drawable(plot, s.points),
  }));
  const points = series.flatMap(s => s.points);
  if (points.length === 0) throw new RangeError('no point to draw');
  const xs = extent(
    points.map(p => p.x),
    false,
  );
  const ys = extent(
    points.map(p => p.y),
    plot.logY === true,
  );
  const x = scale(xs, MARGIN_PX.left, WIDTH_PX - MARGIN_PX.right, false);
  const y = scale(
    ys,
    HEIGHT_PX - MARGIN_PX.bottom,
    MARGIN_PX.top,
    plot.logY === true,
  );
  const parts = [
    text(WIDTH_PX / 2, 20, plot.title, 'middle'),
    text(WIDTH_PX / 2, HEIGHT_PX - 10, plot.xLabel, 'middle'),
    text(8, MARGIN_PX.top - 12, plot.yLabel, 'start'),
    ...ticks(xs, false).flatMap(v => xTick(v, x)),
    ...ticks(ys, plot.logY === true).flatMap(v => yTick(v, y)),
    ...series.flatMap((s, i) => drawSeries(s, i, x, y)),
  ];
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH_PX}" height="${HEIGHT_PX}" font-family="sans-serif" font-size="12">`,
    '<rect width="100%" height="100%" fill="white"/>',
    ...parts,
    '</svg>',
    '',
  ].join('\n');
}

function drawable(plot: Plot, points: readonly Point[]): readonly Point[] {
  return points.filter(
    p =>
      Number.isFinite(p.x) && Number.isFinite(p.y) && (!plot.logY || p.y > 0),
  );
}

function extent(
  values: readonly number[],
  log: boolean,
): readonly [number, number] {
  let low = log ? Infinity : 0;
  let high = -Infinity;
  for (const value of values) {
    low = Math.min(low, value);
    high = Math.max(high, value);
  }
  return low === high ? [low, log ? high * 10 : high + 1] : [low, high];
}

function scale(
  [low, high]: readonly [number, number],
  from: number,
  to: number,
  log: boolean,
): Scale {
  const at = log ? Math.log10 : (value: number) => value;
  const span = at(high) - at(low);
  return value => from + ((at(value) - at(low)) / span) * (to - from);
}

function ticks(
  [low, high]: readonly [number, number],
  log: boolean,
): readonly number[] {
  return Array.from({length: TICKS + 1}, (_, i) => {
    const share = i / TICKS;
    return log ? low * (high / low) ** share : low + (high - low) * share;
  });
}

function xTick(value: number, x: Scale): readonly string[] {
  const bottom = HEIGHT_PX - MARGIN_PX.bottom;
  return [
    line(x(value), bottom, x(value), bottom + 5),
    text(x(value), bottom + 18, label(value), 'middle'),
  ];
}

function yTick(value: number, y: Scale): readonly string[] {
  const right = WIDTH_PX - MARGIN_PX.right;
  return [
    line(MARGIN_PX.left, y(value), right, y(value)),
    text(MARGIN_PX.left - 6, y(value) + 4, label(value), 'end'),
  ];
}

function drawSeries(
  series: Series,
  index: number,
  x: Scale,
  y: Scale,
): readonly string[] {
  const colour = COLOURS[index % COLOURS.length];
  const path = series.points.map(p => `${at(x(p.x))},${at(y(p.y))}`).join(' ');
  const left = WIDTH_PX - MARGIN_PX.right + 10;
  const top = MARGIN_PX.top + 18 * index;
  return [
    `<polyline fill="none" stroke="${colour}" stroke-width="1.5" points="${path}"/>`,
    `<rect x="${left}" y="${top}" width="12" height="3" fill="${colour}"/>`,
    text(left + 18, top + 6, series.name, 'start'),
  ];
}

function line(x1: number, y1: number, x2: number, y2: number): string {
  return `<line x1="${at(x1)}" y1="${at(y1)}" x2="${at(x2)}" y2="${at(y2)}" stroke="#cccccc"/>`;
}

function text(x: number, y: number, value: string, anchor: string): string {
  return `<text x="${at(x)}" y="${at(y)}" text-anchor="${anchor}">${escape(value)}</text>`;
}

function escape(value: string): string {
  return value
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}

function label(value: number): string {
  return String(Number(value.toPrecision(3)));
}

function at(value: number): string {
  return value.toFixed(1);
}
