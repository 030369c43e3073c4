import { createFleetDocument, encodeDocument, parseStoredDocument } from '@camphorbarrow/core';
import type { FleetDocument } from '@camphorbarrow/core';
import type { Measurement } from './Measurement.js';
import { createSampleDocument } from './createSampleDocument.js';
import { fitMeasurement } from './fitMeasurement.js';
import { measureCpuMicros } from './measureCpuMicros.js';
import { measureRetainedBytes } from './measureRetainedBytes.js';

function load(text: string): FleetDocument | undefined {
  const { document } = parseStoredDocument(text);
  return document === undefined ? undefined : createFleetDocument(document);
}

/** Measures a configuration change: encoding at the sender, parsing and indexing at a receiver. */
export async function measureConfiguration(sizes: readonly number[]): Promise<Measurement[]> {
  const encode = [];
  const adopt = [];
  const sent = [];
  const memory = [];
  for (const size of sizes) {
    const document = createSampleDocument(size);
    const text = encodeDocument(document);
    encode.push({ size, value: await measureCpuMicros(() => encodeDocument(document)) });
    adopt.push({ size, value: await measureCpuMicros(() => load(text)) });
    sent.push({ size, value: Buffer.byteLength(text) });
    memory.push({ size, value: await measureRetainedBytes(() => load(text)) });
  }
  const per = 'customer';
  return [
    fitMeasurement({ subject: 'configuration, encode', unit: 'CPU us', per, points: encode }),
    fitMeasurement({ subject: 'configuration, adopt', unit: 'CPU us', per, points: adopt }),
    fitMeasurement({ subject: 'configuration', unit: 'sent bytes', per, points: sent }),
    fitMeasurement({ subject: 'configuration', unit: 'memory bytes', per, points: memory }),
  ];
}
