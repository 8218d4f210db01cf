import type {Row} from '../overload.js';

interface Panel {
  readonly title: string;
  readonly left: number;
  readonly maximum: number;
  readonly valueOf: (row: Row) => number;
}

const WIDTH_PX = 960;
const HEIGHT_PX = 360;
const PLOT_WIDTH_PX = 380;
const PLOT_HEIGHT_PX = 250;
const TOP_PX = 50;
const MAXIMUM_LOAD = 4;
const COLOURS: Readonly<Record<string, string>> = {
  admission: '#0b6e4f',
  'fifo-limited': '#c77d0a',
  'fifo-unlimited': '#b3261e',
};

/**
 * Draws goodput and late answers over the offered load as an SVG document.
 *
 * @example
 * writeFileSync('overload.svg', plotOverload(rows));
 */
export function plotOverload(rows: readonly Row[]): string {
  const all = rows.filter(row => row.scenario === 'mixed' && row.of === 'all');
  const peak = Math.max(...all.map(row => row.goodputPerSecond));
  const panels: readonly Panel[] = [
    {
      title: 'Answers in time per second',
      left: 70,
      maximum: peak,
      valueOf: row => row.goodputPerSecond,
    },
    {
      title: 'Share of late answers',
      left: 540,
      maximum: 1,
      valueOf: row => row.lateShare,
    },
  ];
  const parts = panels.map(panel => drawPanel(panel, all));
  const size = `width="${WIDTH_PX}" height="${HEIGHT_PX}"`;
  const font = 'font-family="sans-serif" font-size="12"';
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" ${size} ${font}>`,
    '<rect width="100%" height="100%" fill="white"/>',
    ...parts,
    '</svg>\n',
  ].join('\n');
}

function drawPanel(panel: Panel, rows: readonly Row[]): string {
  const bottom = TOP_PX + PLOT_HEIGHT_PX;
  const names = Object.keys(COLOURS);
  return [
    `<text x="${panel.left}" y="${TOP_PX - 20}">${panel.title}</text>`,
    `<path d="M${panel.left} ${TOP_PX}V${bottom}h${PLOT_WIDTH_PX}" fill="none" stroke="black"/>`,
    ...[0, 1, 2, 3, 4].map(load => xLabel(panel, load)),
    ...[0, 0.5, 1].map(part => yLabel(panel, part)),
    ...names.map(name => drawLine(panel, rows, name)),
    ...names.map((name, index) => legend(panel, name, index)),
  ].join('\n');
}

function xOf(panel: Panel, load: number): number {
  return panel.left + (load / MAXIMUM_LOAD) * PLOT_WIDTH_PX;
}

function yOf(panel: Panel, value: number): number {
  return TOP_PX + (1 - value / panel.maximum) * PLOT_HEIGHT_PX;
}

function xLabel(panel: Panel, load: number): string {
  const y = TOP_PX + PLOT_HEIGHT_PX + 18;
  return `<text x="${xOf(panel, load)}" y="${y}" text-anchor="middle">${load}x</text>`;
}

function yLabel(panel: Panel, part: number): string {
  const value = part * panel.maximum;
  const text = panel.maximum > 1 ? Math.round(value) : value;
  const y = yOf(panel, value) + 4;
  return `<text x="${panel.left - 6}" y="${y}" text-anchor="end">${text}</text>`;
}

function drawLine(panel: Panel, rows: readonly Row[], policy: string): string {
  const points = rows
    .filter(row => row.policy === policy)
    .map(row => {
      const x = xOf(panel, row.load).toFixed(1);
      return `${x},${yOf(panel, panel.valueOf(row)).toFixed(1)}`;
    });
  return `<polyline points="${points.join(' ')}" fill="none" stroke="${COLOURS[policy]}" stroke-width="2"/>`;
}

function legend(panel: Panel, policy: string, index: number): string {
  const x = panel.left + index * 130;
  const y = TOP_PX + PLOT_HEIGHT_PX + 44;
  return `<text x="${x}" y="${y}" fill="${COLOURS[policy]}">${policy}</text>`;
}
