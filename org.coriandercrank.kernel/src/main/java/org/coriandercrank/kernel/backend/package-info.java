/** Client interface of a backend server. */
package org.coriandercrank.kernel.backend;
