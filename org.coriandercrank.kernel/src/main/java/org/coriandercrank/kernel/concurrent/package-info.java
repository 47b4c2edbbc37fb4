/** Serial executors, which run the tasks of one component in order. */
package org.coriandercrank.kernel.concurrent;
