import type { BurnReport, BurnRow } from '@camphorbarrow/core';

const PLOT_WIDTH = 240;
const PLOT_HEIGHT = 40;
const MIN_SCALE_RATE = 2;

function escapeHtml(text: string): string {
  return text.replace(/[&<>"']/g, (character) => `&#${character.charCodeAt(0)};`);
}

/** Plots the burn rate of each minute of the last hour; the dashed line marks a rate of 1. */
function renderPlot({ lastHour, regionId, serviceClass }: BurnRow): string {
  const highest = Math.max(MIN_SCALE_RATE, ...lastHour.filter(Number.isFinite));
  const yOf = (rate: number): number =>
    PLOT_HEIGHT - (Math.min(rate, highest) / highest) * PLOT_HEIGHT;
  const points = lastHour
    .map(
      (rate, index) =>
        `${((index / (lastHour.length - 1)) * PLOT_WIDTH).toFixed(1)},${yOf(rate).toFixed(1)}`,
    )
    .join(' ');
  const limitY = yOf(1).toFixed(1);
  return (
    `<svg viewBox="0 0 ${PLOT_WIDTH} ${PLOT_HEIGHT}" width="${PLOT_WIDTH}" height="${PLOT_HEIGHT}" ` +
    `role="img" aria-label="burn rate of ${escapeHtml(`${regionId} ${serviceClass}`)}, last hour">` +
    `<line x1="0" y1="${limitY}" x2="${PLOT_WIDTH}" y2="${limitY}" stroke="#999" stroke-dasharray="4"/>` +
    `<polyline points="${points}" fill="none" stroke="#b00" stroke-width="1.5"/></svg>`
  );
}

function renderRow(row: BurnRow): string {
  const causes = row.causes.map(({ result, requests }) => `${result}: ${requests}`).join(', ');
  const exceptions = row.exceptions.map(({ id, reason }) => `${id} (${reason})`).join(', ');
  const cells = [
    row.regionId,
    row.serviceClass,
    `${row.objectiveRatio * 100}%`,
    ...row.windows.map(({ burnRate, requests }) => `${burnRate.toFixed(2)} (${requests})`),
    row.alarm,
    causes,
    exceptions,
  ];
  const html = cells.map((cell) => `<td>${escapeHtml(cell)}</td>`).join('');
  return `<tr class="${row.alarm}">${html}<td>${renderPlot(row)}</td></tr>`;
}

/** Renders the burn report as one HTML page that needs no other files. */
export function renderBurnPage(report: BurnReport): string {
  const windows = report.rows[0]?.windows.map(({ minutes }) => `${minutes} min (requests)`) ?? [];
  const titles = [
    'Region',
    'Class',
    'Objective',
    ...windows,
    'Alarm',
    'Causes',
    'Exceptions',
    'Last hour',
  ];
  const missing = report.missing.map((line) => `<li>${escapeHtml(line)}</li>`).join('');
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>
body { font: 14px sans-serif; margin: 2em; }
table { border-collapse: collapse; }
td, th { border: 1px solid #ccc; padding: 4px 8px; text-align: left; }
.fast td { background: #fdd; }
.slow td { background: #ffd; }
</style></head><body>
<h1>Service-level burn</h1>
<p>${escapeHtml(report.createdAt)}, ${report.hosts.length} entry hosts. A rate of 1 uses up the error budget exactly.</p>
<table><thead><tr>${titles.map((title) => `<th>${title}</th>`).join('')}</tr></thead>
<tbody>${report.rows.map(renderRow).join('\n')}</tbody></table>
<h2>Missing</h2><ul>${missing === '' ? '<li>nothing</li>' : missing}</ul>
</body></html>
`;
}
