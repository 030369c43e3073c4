const WARM_UP_MICROS = 30_000;
const MEASURED_MICROS = 120_000;

async function runFor(budgetMicros: number, run: () => unknown): Promise<number> {
  const start = process.cpuUsage();
  let calls = 0;
  for (;;) {
    await run();
    calls += 1;
    const { user, system } = process.cpuUsage(start);
    if (user + system >= budgetMicros) {
      return (user + system) / calls;
    }
  }
}

/** CPU time of one call in microseconds, including all threads of the process. */
export async function measureCpuMicros(run: () => unknown): Promise<number> {
  await runFor(WARM_UP_MICROS, run);
  return runFor(MEASURED_MICROS, run);
}
