/** Numbered result codes and the exception that carries one. */
package org.coriandercrank.kernel.code;
