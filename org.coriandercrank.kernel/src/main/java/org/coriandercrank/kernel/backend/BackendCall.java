package org.coriandercrank.kernel.backend;

import org.coriandercrank.kernel.id.Generation;
import org.coriandercrank.kernel.request.CallerRequest;

/**
 * One execution of a request by a backend server. Immutable.
 *
 * @param fence fencing token of the key's range; {@link Generation#NONE} for an unkeyed service
 */
public record BackendCall(CallerRequest request, Generation fence) {}
