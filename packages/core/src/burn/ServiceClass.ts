/** Classes of requests that have their own service level objective. */
export type ServiceClass = 'urgent' | 'patient' | 'order' | 'status';
