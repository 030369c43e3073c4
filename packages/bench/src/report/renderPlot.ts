import type { RunSummary } from './RunSummary.js';

const BAR_HEIGHT = 16;
const ROW_HEIGHT = 22;
const LABEL_WIDTH = 420;
const BAR_WIDTH = 400;
const PANEL_GAP = 40;
const MARGIN = 20;
const TITLE_HEIGHT = 30;

interface Panel {
  readonly title: string;
  readonly read: (run: RunSummary) => number | undefined;
  readonly format: (value: number) => string;
}

const PANELS: readonly Panel[] = [
  {
    title: 'Worth of good responses',
    read: ({ worth }) => worth,
    format: (value) => value.toFixed(0),
  },
  {
    title: 'Urgent: first token, 95th percentile (ms)',
    read: ({ classes }) => classes.urgent.firstToken.p95Ms,
    format: (value) => value.toFixed(0),
  },
  {
    title: 'Urgent: good responses per second',
    read: ({ classes }) => classes.urgent.goodPerSecond,
    format: (value) => value.toFixed(2),
  },
  {
    title: 'Patient: good responses per second',
    read: ({ classes }) => classes.patient.goodPerSecond,
    format: (value) => value.toFixed(2),
  },
];

function escapeXml(text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;').replace(/>/g, '&gt;');
}

function renderPanel(panel: Panel, runs: readonly RunSummary[], top: number): string {
  const values = runs.map((run) => panel.read(run) ?? 0);
  const maximum = Math.max(...values, Number.MIN_VALUE);
  const bars = runs.map((run, index) => {
    const y = top + TITLE_HEIGHT + index * ROW_HEIGHT;
    const value = values[index] ?? 0;
    const width = ((value / maximum) * BAR_WIDTH).toFixed(1);
    const label = escapeXml(`${run.caseName}, seed ${run.seed}, ${run.policy}`);
    return [
      `<text x="${MARGIN}" y="${y + BAR_HEIGHT - 4}">${label}</text>`,
      `<rect x="${LABEL_WIDTH}" y="${y}" width="${width}" height="${BAR_HEIGHT}" fill="#4878a8"/>`,
      `<text x="${LABEL_WIDTH + BAR_WIDTH + 8}" y="${y + BAR_HEIGHT - 4}">${panel.format(value)}</text>`,
    ].join('\n');
  });
  const title = `<text x="${MARGIN}" y="${top + 18}" font-weight="bold">${escapeXml(panel.title)}</text>`;
  return [title, ...bars].join('\n');
}

/** Renders bar charts of the main metrics as an SVG document. */
export function renderPlot(runs: readonly RunSummary[]): string {
  const panelHeight = TITLE_HEIGHT + runs.length * ROW_HEIGHT + PANEL_GAP;
  const width = LABEL_WIDTH + BAR_WIDTH + 100;
  const height = 2 * MARGIN + PANELS.length * panelHeight;
  const panels = PANELS.map((panel, index) =>
    renderPanel(panel, runs, MARGIN + index * panelHeight),
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">`,
    '<rect width="100%" height="100%" fill="white"/>',
    ...panels,
    '</svg>\n',
  ].join('\n');
}
