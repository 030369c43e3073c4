import { Command, Option } from 'clipanion';
import { BaseCommand } from './BaseCommand.js';
import { CommandInputError } from './CommandInputError.js';
import { exitCodes } from './exitCodes.js';
import { toTable } from './toTable.js';

const TIMEOUT_MS = 5_000;

type Fields = Readonly<Record<string, string | number>>;

/** Answer of a host: `ChoiceExplanation` of the gateway. */
interface ChoiceExplanation {
  readonly route: string;
  readonly configurationVersion: number;
  readonly services: readonly {
    readonly service: string;
    readonly destination: string;
    readonly reason?: string;
    readonly choice: Fields;
    readonly candidates: readonly Fields[];
  }[];
}

const text = (value: string | number | undefined): string => String(value ?? '-');

/** `camphorbarrow explain-choice`. */
export class ExplainChoiceCommand extends BaseCommand {
  static override paths = [['explain-choice']];

  static override usage = Command.Usage({
    category: 'Operation',
    description: 'Explain where a request would go now, without sending it.',
    details: `
      Asks an entry host on the users' platform, on the port of its metrics, for its choice: the
      destination or the reason for a rejection, and the compared servers of its region with their
      estimates, the best first. Nothing is sent to a server and nothing is recorded.

      Exit codes: 0 ok, 1 the host did not respond or knows no such route, 2 bad input.
    `,
    examples: [
      [
        'Explain a long prompt',
        '$0 explain-choice --metrics http://10.0.0.1:9464 --prompt-tokens 9000 shop.example /draft/',
      ],
    ],
  });

  readonly metrics = Option.String('--metrics', {
    required: true,
    description: 'URL of the metrics port of the entry host',
  });

  readonly customer = Option.String('--customer', { description: 'Id of the customer' });

  readonly promptTokens = Option.String('--prompt-tokens', '0');

  readonly maxOutputTokens = Option.String('--max-output-tokens', '0');

  readonly sharedPart = Option.String('--shared-part', { description: 'Id of a shared prefix' });

  readonly sharedTokens = Option.String('--shared-tokens', '0');

  readonly json = Option.Boolean('--json', false, { description: 'Print the answer as JSON' });

  readonly routeHost = Option.String({ required: true, name: 'HOST' });

  readonly routePath = Option.String({ required: true, name: 'PATH' });

  protected override async run(): Promise<number> {
    const response = await fetch(this.toUrl(), { signal: AbortSignal.timeout(TIMEOUT_MS) });
    const body: unknown = await response.json();
    if (!response.ok) {
      const { message } = body as { readonly message: string };
      this.printError(message);
      return response.status === 400 ? exitCodes.badInput : exitCodes.failure;
    }
    if (this.json) {
      this.print(JSON.stringify(body, undefined, 2));
    } else {
      this.printExplanation(body as ChoiceExplanation);
    }
    return exitCodes.ok;
  }

  private toUrl(): URL {
    if (!URL.canParse(this.metrics)) {
      throw new CommandInputError(`${this.metrics} is not a URL.`);
    }
    const url = new URL('/explain', this.metrics);
    const parameters = {
      host: this.routeHost,
      path: this.routePath,
      customer: this.customer,
      'prompt-tokens': this.promptTokens,
      'max-output-tokens': this.maxOutputTokens,
      'shared-part': this.sharedPart,
      'shared-tokens': this.sharedTokens,
    };
    Object.entries(parameters).forEach(([name, value]) => {
      if (value !== undefined) {
        url.searchParams.set(name, value);
      }
    });
    return url;
  }

  private printExplanation({ route, configurationVersion, services }: ChoiceExplanation): void {
    this.print(`route ${route}, configuration ${configurationVersion}`);
    services.forEach(({ service, destination, reason, choice, candidates }) => {
      const target = destination === 'rejected' ? text(reason) : text(choice.destination);
      this.print(`${service}: ${destination} ${target}`);
      const rows = candidates.map((each) =>
        [
          each.destination,
          each.scoreMs,
          each.estimateMs,
          each.waitMs,
          each.viewCorrectionMs,
          each.running,
          each.uncachedTokens,
        ].map(text),
      );
      const titles = ['SERVER', 'SCORE', 'ESTIMATE', 'WAIT', 'CORRECTION', 'RUNNING', 'UNCACHED'];
      toTable([titles, ...rows]).forEach((line) => this.print(line));
    });
  }
}
