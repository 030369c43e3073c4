import {
  NoConfigurationError,
  NoServerError,
  NotFoundError,
  asId,
  encodeWholeNumber,
} from '@camphorbarrow/core';
import { describeChoice } from '../exchange/describeChoice.js';
import type { FleetView } from '../fleet/createFleetView.js';
import type { Customer } from '../model/Customer.js';
import type { Route } from '../model/Route.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';
import { applyCustomer } from './applyCustomer.js';
import type { LocalChooser } from './createLocalChooser.js';
import type { OutputLengthEstimator } from './createOutputLengthEstimator.js';
import type { Router } from './createRouter.js';
import type { Destination, LocalChoice, RoutingRequest } from './Destination.js';
import { findRoute } from './findRoute.js';
import type { Scored } from './Scored.js';

/** A request that is not sent. */
export interface ChoiceQuery {
  /** Host header and request target, which select the route. */
  readonly host: string;
  readonly path: string;
  /** Customer id; undefined for a caller without a key. */
  readonly customer?: string | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Id and length of the prompt's shared prefix; undefined for a prompt without one. */
  readonly sharedPart?: { readonly id: string; readonly tokens: number } | undefined;
}

type LogFields = Readonly<Record<string, string | number>>;

/** Where a host would send the requests of a route to one of its services now. */
export interface ServiceExplanation {
  readonly service: string;
  readonly destination: 'server' | 'region' | 'rejected';
  /** Why the request would be rejected, as in the field `stopCause` of the log. */
  readonly reason?: string;
  /** Estimates behind the choice; for an overloaded service, those of the best one. */
  readonly choice: LogFields;
  /** Compared servers of this region, the best first, with their estimates. */
  readonly candidates: readonly LogFields[];
}

export interface ChoiceExplanation {
  readonly route: string;
  /** Decimal text if a number cannot hold it. */
  readonly configurationVersion: number | string;
  /** One for each service among which the route splits its requests. */
  readonly services: readonly ServiceExplanation[];
}

/**
 * Explains the choice for a request without sending it or recording anything.
 *
 * @throws NoConfigurationError, NotFoundError without a route or customer, NoServerError if no region
 *   may process requests of the customer
 */
export type ChoiceExplainer = (query: ChoiceQuery) => ChoiceExplanation;

export interface ChoiceExplainerOptions {
  readonly view: Pick<FleetView, 'table'>;
  readonly router: Pick<Router, 'choose'>;
  readonly chooseLocal: LocalChooser;
  readonly outputLengths: Pick<OutputLengthEstimator, 'expectedEvents' | 'typicalEvents'>;
}

const describeDestination = (
  destination: Destination,
): Pick<ServiceExplanation, 'destination' | 'reason' | 'choice'> =>
  destination.kind === 'none'
    ? {
        destination: 'rejected',
        reason: destination.reason,
        choice: describeChoice(
          destination.reason === 'overloaded' ? destination.rejected : undefined,
        ),
      }
    : { destination: destination.kind, choice: describeChoice(destination) };

/** Creates an explainer that makes the choices of the router. */
export function createChoiceExplainer(options: ChoiceExplainerOptions): ChoiceExplainer {
  const { view, router, chooseLocal, outputLengths } = options;

  function toRoutingRequest(
    query: ChoiceQuery,
    route: Route,
    service: ServiceSpec,
  ): RoutingRequest {
    const { promptTokens, maxOutputTokens, sharedPart } = query;
    const ownTokens = Math.max(0, promptTokens - (sharedPart?.tokens ?? 0));
    const metadata: RoutingRequest['metadata'] = {
      attemptId: undefined,
      deadlineMs: undefined,
      promptTokens,
      maxOutputTokens,
      expectedOutputTokens: undefined,
      promptParts: [
        ...(sharedPart === undefined ? [] : [sharedPart]),
        { id: '', tokens: ownTokens },
      ],
      lastEventId: undefined,
      resumes: undefined,
    };
    return {
      route,
      service,
      metadata,
      expectedEvents: outputLengths.expectedEvents({ route, service, metadata }),
      typicalEvents: outputLengths.typicalEvents({ route, service, metadata }),
      remainingMs: route.timeoutMs,
      triedServers: new Set(),
      triedRegions: new Set(),
      rejectingHosts: new Set(),
      isRetry: false,
      isRelayed: false,
    };
  }

  function explainService(request: RoutingRequest): ServiceExplanation {
    const compared: Scored<LocalChoice>[] = [];
    chooseLocal(request, (choices) => compared.push(...choices));
    return {
      service: request.service.name,
      ...describeDestination(router.choose(request)),
      candidates: compared
        .sort((a, b) => a.scoreMs - b.scoreMs)
        .map(({ choice, scoreMs }) => ({
          ...describeChoice(choice),
          scoreMs: Math.round(scoreMs),
        })),
    };
  }

  return (query) => {
    const table = view.table();
    if (table === undefined) {
      throw new NoConfigurationError('This entry host has no configuration yet.');
    }
    const configured = findRoute(table, query.host, query.path);
    if (configured === undefined) {
      throw new NotFoundError('No route matches the host and path.');
    }
    const customer: Customer | undefined =
      query.customer === undefined ? undefined : table.customers?.byId.get(asId(query.customer));
    if (query.customer !== undefined && customer === undefined) {
      throw new NotFoundError('The configuration has no customer of this id.');
    }
    const route = applyCustomer(configured, customer);
    if (route === undefined) {
      throw new NoServerError('No region may process requests of this customer on this route.');
    }
    const services = [...new Set<ServiceName>(route.targets.map(({ service }) => service))]
      .map((name) => table.services.get(name))
      .filter((service) => service !== undefined);
    return {
      route: route.name,
      configurationVersion: encodeWholeNumber(table.version),
      services: services.map((service) => explainService(toRoutingRequest(query, route, service))),
    };
  };
}
