import { URL, fileURLToPath } from 'node:url';
import { performance } from 'node:perf_hooks';
import { writeFileSync } from 'node:fs';
import process from 'node:process';
import { setTimeout } from 'node:timers';

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
const TIME_LIMIT_MS = 110_000;

/**
 * Runs a case: writes record.txt in its folder and ends the process with 1 if the rule was broken, 0
 * if it held, and 2 if the case could not run.
 *
 * @param run gets the record, whether the disruption happens, and a list of things to close; returns
 *   whether the rule was broken
 */
export async function runCase(caseUrl, run) {
  const lines = [];
  const startedAtMs = performance.now();
  const record = (line) => {
    lines.push(`${((performance.now() - startedAtMs) / 1000).toFixed(3)} s  ${line}`);
  };
  const closables = [];
  let isEnding = false;

  async function end(exitCode) {
    if (isEnding) {
      return;
    }
    isEnding = true;
    for (const closable of closables.reverse()) {
      await Promise.resolve(closable.close()).catch(() => undefined);
    }
    const path = fileURLToPath(new URL('record.txt', caseUrl));
    writeFileSync(path, `${lines.join('\n')}\n`);
    process.stdout.write(`${lines.at(-1)}\n`);
    process.exit(exitCode);
  }

  setTimeout(() => {
    record('not run: the time limit of the script is over');
    end(EXIT_NOT_RUN);
  }, TIME_LIMIT_MS);
  process.on('SIGTERM', () => end(EXIT_NOT_RUN));
  process.on('SIGINT', () => end(EXIT_NOT_RUN));
  const hasTrouble = process.env.TROUBLE !== '0';
  record(hasTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  try {
    const isBroken = await run({ record, hasTrouble, closables });
    record(isBroken ? 'result: the rule was broken' : 'result: the rule held');
    await end(isBroken ? EXIT_BROKEN : EXIT_HELD);
  } catch (error) {
    record(`not run: ${error.stack}`);
    await end(EXIT_NOT_RUN);
  }
}
