package org.coriandercrank.kernel.message;

import org.coriandercrank.kernel.code.ResultCode;

/** Answer to a call that the called daemon could not handle. Immutable. */
public record CallFailure(ResultCode code, String detail) implements Message {}
